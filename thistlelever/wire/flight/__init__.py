"""Codecs of Arrow Flight and Flight SQL: generated messages, stream messages, columns and parameters.

`make proto` generates `*_pb2.py` from the two `.proto` files in this folder. Only code that uses Flight SQL
imports this package, as its libraries need much memory.
"""
