/*
 * Lease with fencing. Either of two daemons may be paused at any point, responses of the table service may be lost, and
 * orders stay in flight for up to FLIGHT. Comments name the corresponding functions, most of them in packages/leases/src.
 *
 * Switches that disable a mechanism; a proof must still hold with IGNORES_FENCE or NO_CHECK alone:
 * IGNORES_FENCE  the engine does not compare fencing numbers (checksFencing: false)
 * NO_CHECK       the edge does not check notAfter before it sends
 * NO_FLIGHT_WAIT the next holder only waits for the lease to expire, not for orders in flight
 */
#define LEASE 2
#define FLIGHT 1
#define END 6
#define NONE 255
#define WRITES 4

byte now = 0;                       /* a single monotonic clock suffices: clocks differ in their origin, not in their rate */
byte rowVersion = 0, rowHolder = NONE, rowFence = 0, rowNonce = 0;
byte nonces = 0;
byte orderFence[2] = 0;             /* order in flight, 0 if none */
byte orderUntil[2] = 0;
byte engineFence = 0;               /* highest fencing number of an order that took effect */
byte fenceOwner[8] = NONE;

/* An order in flight arrives within FLIGHT, so the time does not advance beyond its limit. */
#define canAdvance (now < END && (orderFence[0] == 0 || now < orderUntil[0]) && (orderFence[1] == 0 || now < orderUntil[1]))

active proctype Clock() {
	do
	:: atomic { canAdvance -> now++ }
	:: now == END -> break
	od
}

inline engine(id) {                 /* EngineStandIn.receiveOrder */
#ifndef IGNORES_FENCE
	if
	:: orderFence[id] < engineFence -> skip
	:: else ->
#endif
		assert(orderFence[id] >= engineFence);
		engineFence = orderFence[id];
#ifdef SHOW_TAKEOVER
		assert(engineFence != 2);   /* not a property: a violation gives a trace in which the order of the second holder arrives */
#endif
#ifndef IGNORES_FENCE
	fi;
#endif
	orderFence[id] = 0; orderUntil[id] = 0
}

active proctype Engine() {
end:	do
	:: atomic { orderFence[0] != 0 -> engine(0) }
	:: atomic { orderFence[1] != 0 -> engine(1) }
	od
}

inline observeCurrentRow() {        /* observeRow(): records when this version was first seen */
	if
	:: seenVersion != rowVersion -> seenVersion = rowVersion; seenAt = now
	:: else -> skip
	fi;
	seenFence = rowFence
}

proctype Daemon(byte id) {
	byte seenVersion = NONE, seenAt = 0, seenFence = 0;
	byte fence = 0, expires = 0, newFence = 0, requestedAt = 0, nonce = 0;
	bool wrote = false;
	do
	:: now < END && seenVersion != rowVersion ->
		atomic { observeCurrentRow(); printf("TRACE %d %d read %d %d %d %d\n", now, id, rowVersion, rowHolder, rowFence, rowNonce) }
	:: atomic { nonces < WRITES && seenVersion != NONE &&
		((fence != 0 && now < expires) ||                      /* tick(): renew, isHeld() */
#ifdef NO_FLIGHT_WAIT
		 (fence == 0 && (seenVersion == 0 || now >= seenAt + LEASE))) ->
#else
		 (fence == 0 && (seenVersion == 0 || now >= seenAt + LEASE + FLIGHT))) -> /* canAcquire() */
#endif
		requestedAt = now; nonces++; nonce = nonces; wrote = false;
		newFence = (fence != 0 -> fence : seenFence + 1);
		printf("TRACE %d %d request %d %d %d\n", now, id, seenVersion, newFence, nonce) };
		/* The write may take effect at any later time, by compare-and-set. */
		atomic {
			if
			:: rowVersion == seenVersion -> rowVersion++; rowHolder = id; rowFence = newFence; rowNonce = nonce; wrote = true
			:: else -> skip
			fi
		};
		if
		:: skip                                                /* handleAnswer(): written or conflict */
		:: atomic { wrote = (rowNonce == nonce) }              /* response lost; read back: observeRow() finds its own nonce */
		fi;
		atomic {
			if
			:: wrote ->
				assert(fenceOwner[newFence] == NONE || fenceOwner[newFence] == id);
				fenceOwner[newFence] = id;
				fence = newFence; expires = requestedAt + LEASE;
				if
				:: rowNonce == nonce -> observeCurrentRow()
				:: else -> skip
				fi
			:: else -> fence = 0; expires = 0; observeCurrentRow()
			fi;
			printf("TRACE %d %d settled %d %d %d %d %d\n", now, id, wrote, rowVersion, rowHolder, rowFence, rowNonce);
			newFence = 0; requestedAt = 0; nonce = 0; wrote = false    /* reset to reduce the number of states */
		}
	:: atomic { fence != 0 && orderFence[id] == 0 &&
#ifndef NO_CHECK
		now < expires &&                                       /* isHeld() right before the order is sent */
#endif
		now < END -> orderFence[id] = fence; orderUntil[id] = now + FLIGHT;
		printf("TRACE %d %d order %d\n", now, id, fence) }
	:: atomic { fence != 0 && now >= expires -> fence = 0; expires = 0; printf("TRACE %d %d expired\n", now, id) }
	:: now == END -> break
	od
}

init { atomic { run Daemon(0); run Daemon(1) } }
