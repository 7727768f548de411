"""Choice of a backend server, retries and limits at an entry."""
