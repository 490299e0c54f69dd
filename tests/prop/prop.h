// Shared by the property tests.
#ifndef PROP_H
#define PROP_H

#include <rapidcheck.h>

#include <string>
#include <vector>

// From low up to, not with, high. The library's own range starts narrow and
// grows with the size of the case; this one is always whole.
template <typename T>
rc::Gen<T>
in_range(T low, T high)
{
	return rc::gen::resize(
	    rc::kNominalSize, rc::gen::inRange<T>(low, high));
}

// Counts the properties; the main function prints the total.
bool property(const std::string &name, bool held);

bool prop_ownership();
bool prop_workers();
bool prop_ledger();
bool prop_settle();
bool prop_conf();
bool prop_place();
bool prop_route();
bool prop_ready();
bool prop_quarantine();
bool prop_retry();
bool prop_cells();

#endif
