package leave

// Classes returns the number of classes that an estimator keeps.
func Classes(e *Estimator) int { return len(e.classes) }
