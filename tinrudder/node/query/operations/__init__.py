"""Operations that must run at most once: each claims its key before it is sent.

Owns the operations that this node has received.
"""
