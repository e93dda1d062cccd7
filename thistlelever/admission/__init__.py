"""The decisions and the types that they are told and asked through."""
