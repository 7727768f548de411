"""The operator's settings: changes, revisions and the audit trail."""
