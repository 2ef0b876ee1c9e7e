"""At most once across the fleet: claims on the keys of non-idempotent requests."""
