"""What a front keeps on disk, so that its next life knows it: an embedded store and what is written to it.

For: records that survive a crash, written behind the loop's back and never waited for. Uses: SQLite (apsw),
MessagePack (msgspec). Never: a decision; a write on a batch's path; a promise that it can't keep.
"""
