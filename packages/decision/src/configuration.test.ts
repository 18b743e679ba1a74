import type {CallId, DaemonId} from '@cicadapost/types';
import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {SimulatedCluster} from './simulated-cluster.js';

const row = 'configuration/current';

function documentWith(member: string): string {
	return JSON.stringify({base: {members: {[member]: {}}, pools: {}, dataCentres: {}}, overlays: {}});
}

let cluster: SimulatedCluster;

function apply(daemon: string, expectedVersion: number, document: string): string {
	const call = `${daemon}-${cluster.recorded.length}` as CallId;
	cluster.post(daemon, {
		kind: 'apply-configuration', call, expectedVersion, document,
	});
	return call;
}

function versions(): Record<string, number> {
	return Object.fromEntries([...cluster.daemons].map(([daemon, state]) => [daemon, state.configuration.version]));
}

beforeEach(() => {
	cluster = new SimulatedCluster();
	for (const daemon of ['a1', 'a2', 'a3']) {
		cluster.start(daemon, 'a');
	}

	for (const daemon of ['b1', 'b2', 'b3']) {
		cluster.start(daemon, 'b');
	}

	cluster.publishVmList();
	cluster.run(3000);
});

describe('apply', () => {
	it('is in effect at each daemon of each data centre without a poll, so that a change does not wait for one', () => {
		apply('a2', 0, documentWith('acme'));
		expect(versions()).toEqual({
			a1: 1, a2: 1, a3: 1, b1: 1, b2: 1, b3: 1,
		});
		const sent = cluster.actions('send').filter(({message}) => message.kind === 'configuration');
		const received = cluster.recorded.filter(({daemon, action}) => daemon.startsWith('a') && action.kind === 'send' && action.message.kind === 'configuration' && action.to.startsWith('b'));
		expect(sent).toHaveLength(5);
		expect(received).toHaveLength(1);
	});

	describe('with a lost answer', () => {
		it('is accepted when the write took effect, so that the operator is not told that nothing changed', () => {
			cluster.lostWriteAnswers = 1;
			const call = apply('a1', 0, documentWith('acme'));
			cluster.run(1000);
			expect(cluster.actions('apply-accepted')).toMatchObject([{call, version: 1}]);
			expect(cluster.rows.get(row)?.version).toBe(1);
		});

		it('repeats a write that did not take effect, so that the change is not lost', () => {
			cluster.lostWrites = 1;
			const call = apply('a1', 0, documentWith('acme'));
			cluster.run(1000);
			expect(cluster.actions('apply-accepted')).toMatchObject([{call, version: 1}]);
		});

		it('is accepted when another change followed before it was read back, so that it is not reported as a conflict', () => {
			cluster.lostWriteAnswers = 1;
			const first = apply('a1', 0, documentWith('acme'));
			const second = apply('b1', 1, documentWith('other'));
			cluster.run(1000);
			expect(cluster.actions('apply-refused')).toEqual([]);
			expect(Object.fromEntries(cluster.actions('apply-accepted').map(({call, version}) => [call, version]))).toEqual({[first]: 1, [second]: 2});
		});
	});

	describe('of two operators at once', () => {
		it('gives one of them a conflict with the other document, so that the command line can show what changed', () => {
			apply('a1', 0, documentWith('acme'));
			cluster.isMessageLost = () => true;
			cluster.rows.set(row, {version: 2, value: cluster.rows.get(row)!.value.replace('"version":1', '"version":2').replace('acme', 'later')});
			apply('a1', 1, documentWith('mine'));
			const [refused] = cluster.actions('apply-refused');
			expect(refused).toMatchObject({currentVersion: 2, problem: {kind: 'configuration-conflict'}});
			expect(refused?.currentDocument).toContain('later');
		});
	});

	describe('while the store is down', () => {
		it('is refused as not run, so that the operator may repeat it', () => {
			cluster.isStoreDown = true;
			apply('a1', 0, documentWith('acme'));
			expect(cluster.actions('apply-refused')).toMatchObject([{problem: {kind: 'store-unavailable', outcome: 'not-run'}}]);
			expect(versions().a1).toBe(0);
		});
	});
});

describe('a lower version', () => {
	it('is ignored and overwritten in the store by one daemon of each data centre, so that no accepted change reverts', () => {
		apply('a1', 0, documentWith('old'));
		const old = cluster.rows.get(row)!;
		apply('a1', 1, documentWith('new'));
		cluster.rows.set(row, old);
		const before = cluster.actions('write-row').length;
		cluster.run(30_000);
		expect(new Set(Object.values(versions()))).toEqual(new Set([2]));
		expect(cluster.rows.get(row)?.value).toContain('new');
		expect(cluster.actions('write-row').length - before).toBeLessThanOrEqual(2);
	});

	it('of a lagging peer is ignored, so that no accepted change reverts', () => {
		apply('a1', 0, documentWith('old'));
		apply('a1', 1, documentWith('new'));
		cluster.post('a1', {kind: 'message', from: 'b1' as DaemonId, message: {kind: 'configuration', version: 1, document: documentWith('old')}});
		expect(cluster.state('a1').configuration.document).toContain('new');
	});

	it('of a partitioned data centre is replaced once the partition heals', () => {
		cluster.isMessageLost = (from, to) => from.slice(0, 1) !== to.slice(0, 1);
		apply('a1', 0, documentWith('acme'));
		cluster.isStoreDown = true;
		cluster.run(5000);
		expect(versions().b1).toBe(0);
		cluster.isMessageLost = () => false;
		cluster.run(3000);
		expect(new Set(Object.values(versions()))).toEqual(new Set([1]));
	});
});

describe('a daemon that starts without the platform', () => {
	it('learns the newest version from its peers, so that it can serve', () => {
		apply('a1', 0, documentWith('acme'));
		cluster.isStoreDown = true;
		cluster.start('a4', 'a');
		cluster.publishVmList();
		cluster.run(3000);
		expect(versions().a4).toBe(1);
	});
});

describe('an invalid document', () => {
	const faulty = JSON.stringify({
		base: {
			members: {}, pools: {}, dataCentres: {}, surprise: 1,
		}, overlays: {},
	});

	it.each([['with an unknown field', faulty], ['that is not JSON', '{']])('%s from a peer changes nothing and is logged', (_name, document) => {
		apply('a1', 0, documentWith('acme'));
		cluster.post('a1', {kind: 'message', from: 'b1' as DaemonId, message: {kind: 'configuration', version: 7, document}});
		expect(cluster.state('a1').configuration.version).toBe(1);
		expect(cluster.actions('log', 'a1')).toHaveLength(1);
	});

	it('from the store changes nothing, is logged and is not overwritten', () => {
		apply('a1', 0, documentWith('acme'));
		cluster.rows.set(row, {version: 2, value: 'garbage'});
		cluster.run(5000);
		expect(versions().a1).toBe(1);
		expect(cluster.actions('log').length).toBeGreaterThan(0);
		expect(cluster.rows.get(row)?.value).toBe('garbage');
	});
});

describe('polling', () => {
	it('is done by one daemon of each data centre, so that reads stay within what the store allows', () => {
		const before = cluster.actions('read-row').length;
		cluster.run(10_000);
		expect(cluster.actions('read-row').length - before).toBeLessThanOrEqual(22);
	});
});
