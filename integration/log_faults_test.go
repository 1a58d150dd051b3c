package integration

import logstandin "github.com/gooseberryflow/gooseberryflow/streamlog/standin"

// logOutage returns log faults that take the log down, or none.
func logOutage(down bool) logstandin.Faults { return logstandin.Faults{Down: down} }
