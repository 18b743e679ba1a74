/*
 * Claim of a non-idempotent request. Two daemons receive the same request, because its caller resends it. Either daemon
 * may be paused at any point, and responses of the table service may be lost. The model follows the protocol
 * that packages/claims implements.
 *
 * Switches that disable a mechanism, for negative controls:
 * NO_CLAIM    the request is sent without a claim row
 * NO_SEND_BY  the edge does not check sendBy before it sends, and the claimant gives up based on its own clock
 */
#define SEND_FOR 1
#define END 5
#define NONE 255

mtype = { absent, claimed, notRun, ran };

byte now = 0;
mtype row = absent;
byte rowNonce = NONE;
byte runs = 0;
byte notRunReports = 0;

active proctype Clock() {
	do
	:: now < END -> now++
	:: now == END -> break
	od
}

mtype = { none, sent, late };
bool toSend[2] = false;
byte sendBy[2] = 0;
mtype report[2] = none;

/* UpstreamConnections.run(): checks the time again right before the write. */
proctype Edge(byte id) {
end:	toSend[id];
	atomic {
		if
#ifndef NO_SEND_BY
		:: now > sendBy[id] -> report[id] = late
		:: now <= sendBy[id] ->
#else
		:: true ->
#endif
			runs++; report[id] = sent;
			assert(runs <= 1);
			assert(notRunReports == 0)
		fi
	}
}

proctype Daemon(byte id) {
	bool ownsClaim = false, lost = false;
	sendBy[id] = now + SEND_FOR;                   /* counted from when the claim is requested */
#ifndef NO_CLAIM
	atomic {                                       /* insert by compare-and-set */
		if
		:: row == absent -> row = claimed; rowNonce = id; ownsClaim = true
		:: else -> skip
		fi;
		if
		:: lost = true                         /* the response is lost after the write took effect */
		:: skip
		fi
	};
	if
	:: lost -> atomic { ownsClaim = (row != absent && rowNonce == id) }   /* read back and compare the nonce */
	:: else -> skip
	fi;
#else
	ownsClaim = true;
#endif
	if
	:: ownsClaim ->
		toSend[id] = true;
		if
		:: atomic { report[id] == sent ->
			if
			:: row == claimed && rowNonce == id -> row = ran
			:: else -> skip
			fi }
#ifdef NO_SEND_BY
		:: atomic { report[id] == none && now > sendBy[id] ->
#else
		:: atomic { report[id] == late ->
#endif
			/* Only the claimant sets the row to not-run. */
			if
			:: row == claimed && rowNonce == id -> row = notRun
			:: else -> skip
			fi;
			notRunReports++;
			assert(runs == 0) }
		fi
	:: else ->
		/* A resent request gets the recorded outcome, or unknown. */
		atomic {
			if
			:: row == notRun -> notRunReports++; assert(runs == 0)
			:: row == ran -> assert(runs == 1)
			:: else -> skip
			fi
		}
	fi
}

init { atomic { run Daemon(0); run Edge(0); run Daemon(1); run Edge(1) } }
