"""Schema, models, errors and pure decisions shared by all daisylift programs."""
