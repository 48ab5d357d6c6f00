"""Schema, models, errors and decision logic shared by all daisylift programs."""
