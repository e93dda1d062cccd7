"""Hosts fronts on the bench's wire: codec, settings reading and the host loop. It decides nothing."""
