"""Fakes of the peers of a front, on loopback, written from the public specifications.

Each follows its scripted steps and otherwise behaves as a healthy peer. Fake engines also record what
arrived, ran and was answered, independently of the front. They serve the tests, the rigs and the demo; a
front never imports them.
"""
