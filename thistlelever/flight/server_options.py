"""Options of the gRPC server: the limits on its clients."""

# A statement has 190 KB at most, and parameters a little more; gRPC rejects longer messages without reading
# them.
MAX_MESSAGE_BYTES = 1 << 20
MAX_STREAMS_PER_CONNECTION = 32
SERVER_OPTIONS = (
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_concurrent_streams", MAX_STREAMS_PER_CONNECTION),
    ("grpc.max_metadata_size", 8_192),
    ("grpc.absolute_max_metadata_size", 16_384),
    ("grpc.server_handshake_timeout_ms", 3_000),
    # Connections without calls are closed.
    ("grpc.max_connection_idle_ms", 300_000),
    ("grpc.http2.bdp_probe", 0),
    ("grpc.http2.lookahead_bytes", 65_536),
    ("grpc.keepalive_time_ms", 20_000),
    ("grpc.keepalive_timeout_ms", 5_000),
    ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
    ("grpc.http2.write_buffer_size", 65_536),
)
