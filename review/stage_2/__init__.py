"""What the scripts of the second review share: fronts as processes, stand-ins, clients and the record."""
