"""State that a front keeps on disk across restarts, in an embedded SQLite database.

Records survive a crash. They are written asynchronously by a thread of their own, and no batch waits for a
write. Uses SQLite (apsw) and MessagePack (msgspec). The package makes no decisions.
"""
