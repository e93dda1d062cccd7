"""The I/O of a front: passes events to the decisions and carries out their actions on sockets."""
