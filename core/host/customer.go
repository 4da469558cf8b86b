package host

import "lynxfold/core/contract"

// RunningCustomer returns the customer that a running request is made for, and reports
// whether the request is running. Callers choose the ids of their requests: if requests
// of different customers run under one id, it reports none.
func (ga *Gate) RunningCustomer(id RequestID) (contract.CustomerName, bool) {
	var customer contract.CustomerName
	found := false
	for _, en := range ga.running {
		if id == "" || en.attempt.Request != id {
			continue
		}
		if found && en.attempt.Customer != customer {
			return "", false
		}
		customer, found = en.attempt.Customer, true
	}
	return customer, found
}
