/*
 * Publication of the configuration. Two operators change it through two daemons, and a third daemon receives it from
 * its peers. Any daemon may be paused at any point, responses of the table service may be lost, messages may arrive late
 * and out of order, and the store recovers once with an older row. Comments name the corresponding functions in
 * packages/configuration/src/configuration.ts.
 *
 * Switches that disable a mechanism, for negative controls:
 * ANY_VERSION   a daemon adopts any version that it receives, even a lower one
 * BLIND_ANSWER  a lost response is reported as a refusal without reading the row back
 * NO_WRITE_BACK the store is not corrected after it recovered with an older row
 */
#define DAEMONS 3
#define NONE 255

byte rowVersion = 1, rowConfiguration = 0, rowNonce = NONE;  /* the row version differs from the configuration version */
byte oldConfiguration = 0;
bool restored = false;
byte known[DAEMONS] = 0;            /* version in effect at each daemon */
byte accepted = 0;                  /* highest version that was reported to an operator as accepted */
bool wronglyRefused = false;
byte message[DAEMONS] = 0;          /* latest push in flight to each daemon, 0 if none; a later push replaces it */
byte finished = 0;

inline adopt(id, version) {         /* Step.adopt() */
#ifdef ANY_VERSION
	if
	:: version != 0 ->
#else
	if
	:: version > known[id] ->
#endif
		assert(version >= known[id]);
		known[id] = version
	:: else -> skip
	fi
}

proctype Operator(byte id) {
	byte seenRow, baseVersion, next;
	bool wrote = false, responseArrived = false;
	atomic { seenRow = rowVersion; adopt(id, rowConfiguration); baseVersion = known[id]; next = baseVersion + 1 };    /* Step.apply(), applyOver() */
	atomic {                                                   /* nextStored(), compare-and-set */
		if
		:: rowVersion == seenRow -> rowVersion++; oldConfiguration = rowConfiguration; rowConfiguration = next; rowNonce = id; wrote = true
		:: else -> skip
		fi
	};
	if
	:: responseArrived = true                                  /* the response arrives */
	:: skip                                                    /* the response is lost: readBackLater(), applyOver() */
	fi;
	atomic {
		if
		:: responseArrived && wrote -> accepted = (next > accepted -> next : accepted)
		:: responseArrived && !wrote -> adopt(id, rowConfiguration)
#ifdef BLIND_ANSWER
		:: !responseArrived -> wronglyRefused = wrote
#else
		:: !responseArrived && wrote && rowNonce == id -> accepted = (next > accepted -> next : accepted)
		:: !responseArrived && wrote && rowNonce != id -> accepted = (next > accepted -> next : accepted)   /* the row still lists its nonce */
		:: !responseArrived && !wrote -> adopt(id, rowConfiguration)
#endif
		fi;
		assert(!wronglyRefused);
		if
		:: wrote && !wronglyRefused -> adopt(id, next); message[2] = next; message[1 - id] = next   /* push */
		:: else -> skip
		fi;
		finished++
	}
}

proctype Receiver(byte id) {
end:	do
	:: atomic { message[id] != 0 -> adopt(id, message[id]); message[id] = 0 }          /* Step.offered() */
	:: atomic { known[0] > known[id] || known[1] > known[id] || known[2] > known[id] ->     /* peerVersion(), pulled() */
		if
		:: known[0] > known[id] -> adopt(id, known[0])
		:: known[1] > known[id] -> adopt(id, known[1])
		:: known[2] > known[id] -> adopt(id, known[2])
		fi }
	:: atomic { rowConfiguration > known[id] -> adopt(id, rowConfiguration) }                /* polled() */
#ifndef NO_WRITE_BACK
	:: atomic { restored && rowConfiguration < known[id] -> rowVersion++; rowConfiguration = known[id] }   /* writeBack() */
#endif
	od
}

/* After both changes, the store recovers once, possibly with the previous row. */
proctype Store() {
	atomic { finished == 2 -> restored = true; if :: rowConfiguration = oldConfiguration :: skip fi; rowVersion++ };
	/* timeout: no other step is possible. All daemons and the store must have the last accepted version. */
	timeout;
	assert(known[0] >= accepted && known[1] >= accepted && known[2] >= accepted);
	assert(rowConfiguration >= accepted)
}

init { atomic { run Operator(0); run Operator(1); run Receiver(0); run Receiver(1); run Receiver(2); run Store() } }
