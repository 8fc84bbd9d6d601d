/*
 * The model of journals.pml for a set of four members, one more than usual, of which one is dropped. Fewer votes are
 * required afterwards, while only one of the remaining members may hold the turn.
 */

#define FOUR_MEMBERS

/* The guards that this model requires. Those of journals.pml are not all required for a set of four. */
#ifdef NO_COPY_BEFORE_MISSING
#define REPORTS_MISSING_BEFORE_COPY
#endif
#ifdef NO_VOTE_UNDER_THE_SAME_SET
#define VOTES_CARRY_OVER
#endif

#include "journals.pml"
