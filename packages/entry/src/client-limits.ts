import {totalmem} from 'node:os';
import {getHeapStatistics} from 'node:v8';
import {
	BodyMemory, ByteMeter, shareMemory, unlimitedBodies, UnreadOutput,
} from '@cicadapost/byte-budget';
import type {Logger} from '@cicadapost/observability';
import type {Clock, Millis} from '@cicadapost/types';
import type {EntrySettings} from './entry-settings.js';

/** Something that was refused or closed because of a limit for clients. */
export type ClientReport = Readonly<{
	reason: 'too many connections' | 'no memory for a body' | 'a slow body was closed' | 'a body went on after the response' | 'a reader was too slow' | 'no memory for a response' | 'no memory for a text';
	/** IP address. Undefined if it is not known any more. */
	peer?: string | undefined;
}>;

/** What clients that are not under control may use. */
export type ClientLimits = Readonly<{
	memory: BodyMemory;
	/** Buffered responses of upstreams. */
	responses: ByteMeter;
	/** Texts of running samples. */
	texts: ByteMeter;
	unread: UnreadOutput;
	/** Connections of callers. */
	maxConnections: number;
	/** Connections of other daemons. */
	maxDaemonConnections: number;
	report: (report: ClientReport) => void;
}>;

/** Descriptors that files, listeners and the store need. */
const reservedDescriptors = 200;
/** Shares of the other descriptors for connections of callers and of other daemons. The rest is for those that this daemon opens. */
const callerShare = 0.6;
const daemonShare = 0.1;
/** Large bodies are refused while this share of the heap is used. */
const maxHeapShare = 0.85;
/** The state of the heap is read at most this often. */
const heapCheckMs = 100;
/** A process whose settings name no memory takes no more than this for what it may use, in megabytes. */
const maxDefaultMemoryMb = 1024;
const bytesPerMegabyte = 1024 * 1024;
/** Time between two log lines with the same reason. */
const logIntervalMs = 1000;

export function unlimitedClients(clock: Clock): ClientLimits {
	return {
		memory: unlimitedBodies(clock),
		responses: new ByteMeter(),
		texts: new ByteMeter(),
		unread: new UnreadOutput(),
		maxConnections: Number.POSITIVE_INFINITY,
		maxDaemonConnections: Number.POSITIVE_INFINITY,
		report() {
			// Nothing is limited.
		},
	};
}

export type ClientLimitsOptions = Readonly<{
	clock: Clock;
	logger: Logger;
	limits: EntrySettings['limits'];
	random: () => number;
	/** Called for each report, unlike the log. */
	onReport: (report: ClientReport) => void;
}>;

/** Derives the limits for clients from what the platform lets the process use. */
export function createClientLimits({clock, logger, limits, random, onReport}: ClientLimitsOptions): ClientLimits {
	const shares = shareMemory(limits.memoryMb ?? usableMemoryMb());
	const logged = new Map<ClientReport['reason'], {at: Millis; suppressed: number}>();
	const report = (event: ClientReport) => {
		onReport(event);
		const last = logged.get(event.reason);
		const now = clock.now();
		if (last !== undefined && now - last.at < logIntervalMs) {
			last.suppressed += 1;
			return;
		}

		logged.set(event.reason, {at: now, suppressed: 0});
		logger.warn({event: 'client-limit', ...event, suppressed: last?.suppressed ?? 0}, event.reason);
	};

	return {
		memory: new BodyMemory({
			clock, shares, random, isHeapShort: heapCheck(clock),
		}),
		responses: new ByteMeter(shares.responses, () => {
			report({reason: 'no memory for a response'});
		}),
		texts: new ByteMeter(shares.texts, () => {
			report({reason: 'no memory for a text'});
		}),
		unread: new UnreadOutput(shares.unread, peer => {
			report({reason: 'a reader was too slow', peer});
		}),
		maxConnections: connectionLimit(limits.maxDescriptors, callerShare),
		maxDaemonConnections: connectionLimit(limits.maxDescriptors, daemonShare),
		report,
	};
}

/** Returns the memory that a process without a limit in its settings takes for what it may use, in megabytes. */
export function usableMemoryMb(): number {
	// 0 if there is no limit; Node.js returns the size of the address space for some kinds of unlimited.
	const constrained = process.constrainedMemory() ?? 0;
	const available = constrained > 0 ? Math.min(constrained, totalmem()) : totalmem();
	return Math.min(maxDefaultMemoryMb, Math.floor(available / bytesPerMegabyte));
}

/** Returns a number of connections, from the number of descriptors of the process. */
function connectionLimit(maxDescriptors: number | undefined, share: number): number {
	return maxDescriptors === undefined ? Number.POSITIVE_INFINITY : Math.max(1, Math.floor((maxDescriptors - reservedDescriptors) * share));
}

function heapCheck(clock: Clock): () => boolean {
	let checkedAt = Number.NEGATIVE_INFINITY;
	let isShort = false;
	return () => {
		const now = clock.now();
		if (now - checkedAt >= heapCheckMs) {
			checkedAt = now;
			const {used_heap_size: used, heap_size_limit: limit} = getHeapStatistics();
			isShort = used > limit * maxHeapShare;
		}

		return isShort;
	};
}
