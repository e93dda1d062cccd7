"""The Arrow Flight SQL endpoint for clients.

It uses the same request validation and batch tasks as the JSON-RPC endpoint, and `state/` for what outlives
a call: tickets, prepared statements and sessions. It takes no part in the choice of engines. The entry point
is `server.FlightServer`; it is imported only where the operator file has a section `flight`, as its libraries
take some 60 MB.
"""
