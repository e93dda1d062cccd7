"""The second door: clients that speak Arrow Flight SQL.

Uses the middle (`RequestValidator`, `BatchTasks`) as the JSON-RPC door does and `state/` for what it
remembers between calls; decides nothing of engines. `door.Door` is its one face; it is imported only where
the operator file has a section `flight`, as its libraries take some 60 MB.
"""
