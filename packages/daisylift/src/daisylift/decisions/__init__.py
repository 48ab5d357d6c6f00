"""Pure decisions: functions of state and time, without input or output."""
