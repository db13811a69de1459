"""Operations that must run at most once: claimed by a key before they are sent."""
