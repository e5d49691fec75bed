//! What the system is told: settings files and the operators' configurations.
