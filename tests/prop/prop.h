// Declarations that the property tests share.
#ifndef PROP_H
#define PROP_H

#include <rapidcheck.h>

#include <string>
#include <vector>

// Generates values in [low, high). RapidCheck's inRange starts with a narrow
// range that grows with the size of the case; this one always uses all of it.
template <typename T>
rc::Gen<T>
in_range(T low, T high)
{
	return rc::gen::resize(
	    rc::kNominalSize, rc::gen::inRange<T>(low, high));
}

// Prints and counts the result of a property; @return held.
bool property(const std::string &name, bool held);

bool prop_ownership();
bool prop_workers();
bool prop_ledger();
bool prop_request_outcome();
bool prop_conf();
bool prop_place();
bool prop_route();
bool prop_ready();
bool prop_quarantine();
bool prop_retry();
/** Plays one history of cuts of zones; @return whether it keeps all
 * guarantees. */
bool zones_hold();
/** Plays one history of accounts with caps; @return whether it keeps all
 * guarantees. */
bool caps_hold();
/** Plays one history of crashes and cuts; @return whether it keeps all
 * guarantees but the next, and every job that crashes no runner completes. */
bool crash_cuts_keep();
/** As crash_cuts_keep(); @return whether the tasks that crash their runners are
 * given up in time. */
bool crash_cuts_give_up();
/** As crash_cuts_give_up(), while the leader changes and runners end silently.
 */
bool crash_cuts_give_up_across();
/** @param only key of one of them; NULL: all of them. */
bool prop_cells(const char *only);

#endif
