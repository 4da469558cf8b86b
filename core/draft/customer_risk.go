package draft

import (
	"slices"

	"lynxfold/core/contract"
)

// checkCustomer reports calls that the change of a customer refuses, and the first and the
// last customer, which make all calls need a key or none.
func (as *riskAssessor) checkCustomer(na contract.CustomerName, ed Edit[contract.Customer]) {
	name := string(na)
	if ed.Before == nil && len(as.before.Customers) == 0 {
		as.addRisk(RiskKeysRequired, KindCustomer, name,
			"calls without the key of a customer are refused, except on public routes; until now no call needed a key")
	}
	if ed.Before == nil {
		return
	}
	if ed.After == nil && len(as.after.Customers) == 0 {
		as.addRisk(RiskKeysNotRequired, KindCustomer, name, "no customer is left: calls need no key any more")
		return
	}
	var after contract.Customer
	if ed.After != nil {
		after = *ed.After
	}
	for _, kd := range ed.Before.Keys {
		if !slices.Contains(after.Keys, kd) && !as.isKey(kd) {
			as.addRisk(RiskKeyRemoved, KindCustomer, name, "calls of %s with the key %s are refused", na, kd.Short())
		}
	}
	if before := ed.Before.RatePerSecond; after.RatePerSecond > 0 && (before == 0 || after.RatePerSecond < before) {
		as.addRisk(RiskCustomerRateLower, KindCustomer, name,
			"calls of %s beyond %g a second are refused", na, after.RatePerSecond)
	}
}

// isKey reports whether any customer has a key after the draft.
func (as *riskAssessor) isKey(kd contract.KeyDigest) bool {
	return slices.ContainsFunc(as.after.Customers, func(cu contract.Customer) bool { return slices.Contains(cu.Keys, kd) })
}
