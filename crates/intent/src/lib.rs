//! Teams, services and endpoints as aggregates with their own rules; plans, confirmation, the audit trail and the reconciler's orders.
