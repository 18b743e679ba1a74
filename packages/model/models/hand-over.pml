/*
 * Hand-over of one group to its trainer. Two daemons may both believe that they own the step, and either may be paused at
 * any point. Responses of the table service and of the daemon to the trainer may be lost. The model follows the
 * protocol that packages/rollouts implements.
 *
 * Switches that disable a mechanism, for negative controls:
 * NO_ROW_CHECK      a complete group is handed over without the compare-and-set to handed
 * NO_FETCH_COMPARE  a group that was handed over is returned for any fetchId
 */
#define NONE 255

mtype = { complete, handed, acked };
mtype row = complete;
byte rowFetch = NONE;
byte rowVersion = 1;
byte trained = 0;                   /* number of times that the trainer has used the group */
byte askedFetch = NONE;             /* fetch in flight to a daemon */
byte answerFetch = NONE;            /* response in flight to the trainer */
bool ack = false;
bool isEnded = false;
byte fetches = 0;

proctype Daemon(byte id) {
	byte fetch, seenVersion, seenFetch;
	mtype seen;
	bool won;
end:	do
	:: atomic { askedFetch != NONE -> fetch = askedFetch; askedFetch = NONE };
		atomic { seen = row; seenFetch = rowFetch; seenVersion = rowVersion };     /* read the row */
		if
		:: seen == complete ->
#ifdef NO_ROW_CHECK
			won = true;
#else
			atomic {                                                           /* compare-and-set to handed with the fetchId */
				won = false;
				if
				:: rowVersion == seenVersion -> row = handed; rowFetch = fetch; rowVersion++; won = true
				:: else -> skip
				fi
			};
			if
			:: skip                                                            /* the response arrives */
			:: atomic { won = (row == handed && rowFetch == fetch) }           /* response lost: read back, compare the fetchId */
			fi;
#endif
			if
			:: won -> answerFetch = fetch
			:: else -> skip
			fi
#ifdef NO_FETCH_COMPARE
		:: seen == handed -> answerFetch = fetch
#else
		:: seen == handed && seenFetch == fetch -> answerFetch = fetch     /* a repeated fetch gets the same group */
#endif
		:: else -> skip                                                    /* another fetchId gets no group */
		fi
	:: atomic { ack -> ack = false; if :: row == handed -> row = acked; rowVersion++ :: else -> skip fi }
	:: isEnded -> break
	od
}

/* Uses a group once per fetchId; the trainer does not keep track of groups. */
proctype Trainer() {
	byte fetchId = 0, usedFetch = NONE;
	do
	:: atomic { fetches < 4 && askedFetch == NONE -> fetches++; askedFetch = fetchId }   /* possibly repeats a fetch whose response was lost */
	:: atomic { answerFetch != NONE ->
		if
		:: answerFetch == fetchId && usedFetch != fetchId -> trained++; usedFetch = fetchId; ack = true; assert(trained <= 1)
		:: else -> skip
		fi;
		answerFetch = NONE }
	:: atomic { answerFetch != NONE -> answerFetch = NONE }                              /* the response is lost */
	:: atomic { usedFetch == fetchId && fetchId < 2 -> fetchId++ }                       /* the next fetch */
	:: fetches == 4 && askedFetch == NONE -> break
	od;
	isEnded = true
}

init { atomic { run Daemon(0); run Daemon(1); run Trainer() } }
