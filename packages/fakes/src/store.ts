import type {Millis, RowResponse} from '@cicadapost/types';
import type {EventQueue} from './event-queue.js';
import type {Random} from './random.js';
import type {Recorder} from './recorder.js';

export type StoreFaults = {
	/** Calls get no response and end with `unavailable` after the timeout. */
	isDown: boolean;
	delayMs: Millis;
	/** Fraction of writes that take effect but whose response is lost. */
	lostResponseRate: number;
	/** Fraction of reads that return the previous version of a row. */
	staleReadRate: number;
};

type Row = Readonly<{version: number; value: string}>;
type Parts = Readonly<{queue: EventQueue; random: Random; recorder: Recorder}>;

const callTimeoutMs = 2000;
const defaultDelayMs = 5;

/** Simulates delays, outages and lost responses, both for the table service and for the object store. */
abstract class FakeStore {
	readonly faults: StoreFaults = {
		isDown: false, delayMs: defaultDelayMs, lostResponseRate: 0, staleReadRate: 0,
	};

	reads = 0;
	writes = 0;

	constructor(protected readonly parts: Parts) {}

	/** Runs `execute` when the call reaches the service. Passes its result to `answer`, or undefined if the service is down or the response is lost. */
	protected call<Result>(kind: 'read' | 'write', execute: () => Result, answer: (result: Result | undefined) => void): void {
		if (kind === 'read') {
			this.reads++;
		} else {
			this.writes++;
		}

		const {queue, random} = this.parts;
		queue.schedule(this.faults.delayMs / 2, () => {
			if (this.faults.isDown) {
				queue.schedule(callTimeoutMs, () => {
					answer(undefined);
				});
				return;
			}

			const result = execute();
			const isLost = kind === 'write' && random.bernoulli(this.faults.lostResponseRate);
			queue.schedule(isLost ? callTimeoutMs : this.faults.delayMs / 2, () => {
				answer(isLost ? undefined : result);
			});
		});
	}
}

/** Table service with versioned rows and compare-and-set. Keeps the previous version of each row, which a lagging replica may return. */
export class FakeTableService extends FakeStore {
	private readonly rows = new Map<string, Row[]>();

	read(table: string, key: string, answer: (answer: RowResponse) => void): void {
		this.call('read', (): RowResponse => {
			const history = this.rows.get(`${table}/${key}`) ?? [];
			const isStale = history.length > 1 && this.parts.random.bernoulli(this.faults.staleReadRate);
			const row = history.at(isStale ? -2 : -1);
			return row === undefined ? {kind: 'absent'} : {kind: 'row', ...row};
		}, result => {
			answer(result ?? {kind: 'unavailable'});
		});
	}

	/** Lists the rows whose key starts with `prefix`; `answer` gets undefined if the service is unavailable. */
	list(table: string, prefix: string, answer: (rows: ReadonlyArray<Row & Readonly<{key: string}>> | undefined) => void): void {
		this.call('read', () => this.currentRows(table, prefix), answer);
	}

	/** Writes a row if its version is `expectedVersion`; version 0 means that the row must not exist yet. */
	compareAndSet(by: string, write: Readonly<{table: string; key: string; expectedVersion: number; value: string}>, answer: (answer: RowResponse) => void): void {
		this.call('write', () => this.write(by, write), result => {
			answer(result ?? {kind: 'unavailable'});
		});
	}

	/** Writes a row without delay or faults, to set up the state before a run. */
	seed(table: string, key: string, value: string): void {
		this.write('seed', {
			table, key, expectedVersion: this.current(table, key)?.version ?? 0, value,
		});
	}

	current(table: string, key: string): Row | undefined {
		return this.rows.get(`${table}/${key}`)?.at(-1);
	}

	currentRows(table: string, prefix = ''): Array<Row & Readonly<{key: string}>> {
		const start = `${table}/${prefix}`;
		return [...this.rows].filter(([name]) => name.startsWith(start)).map(([name, history]) => ({key: name.slice(table.length + 1), ...history.at(-1)!}));
	}

	private write(by: string, write: Readonly<{table: string; key: string; expectedVersion: number; value: string}>): RowResponse {
		const name = `${write.table}/${write.key}`;
		const history = this.rows.get(name) ?? [];
		const row = history.at(-1);
		if ((row?.version ?? 0) !== write.expectedVersion) {
			return row === undefined ? {kind: 'absent'} : {kind: 'conflict', ...row};
		}

		const version = write.expectedVersion + 1;
		this.rows.set(name, [...history.slice(-1), {version, value: write.value}]);
		this.parts.recorder.record({
			kind: 'row-written', by, table: write.table, key: write.key, version, value: write.value,
		});
		return {kind: 'written', version};
	}
}

export type ObjectAnswer = Readonly<{kind: 'object'; value: string}> | Readonly<{kind: 'absent' | 'done' | 'unavailable'}>;

export class FakeObjectStore extends FakeStore {
	readonly objects = new Map<string, string>();

	get(key: string, answer: (answer: ObjectAnswer) => void): void {
		this.call('read', (): ObjectAnswer => {
			const value = this.objects.get(key);
			return value === undefined ? {kind: 'absent'} : {kind: 'object', value};
		}, result => {
			answer(result ?? {kind: 'unavailable'});
		});
	}

	put(by: string, key: string, value: string, answer: (answer: ObjectAnswer) => void): void {
		this.call('write', (): ObjectAnswer => {
			this.objects.set(key, value);
			this.parts.recorder.record({kind: 'object-written', by, key});
			return {kind: 'done'};
		}, result => {
			answer(result ?? {kind: 'unavailable'});
		});
	}

	delete(by: string, key: string, answer: (answer: ObjectAnswer) => void): void {
		this.call('write', (): ObjectAnswer => {
			this.objects.delete(key);
			this.parts.recorder.record({kind: 'object-deleted', by, key});
			return {kind: 'done'};
		}, result => {
			answer(result ?? {kind: 'unavailable'});
		});
	}
}
