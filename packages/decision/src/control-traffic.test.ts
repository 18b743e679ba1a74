import {encodeMessage} from '@cicadapost/peers';
import type {DaemonId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {SimulatedCluster} from './simulated-cluster.js';

const dataCentres = 8;
const daemons = 370;
const secondsMeasured = 5;
const stepMs = 250;
/** Header size of a WebSocket frame below 64 KiB from a client. The header of a frame from a server is shorter. */
const frameHeaderBytes = 8;
const limitBytesPerSecond = 16_384;

describe('control traffic at the design size', () => {
	it('stays within 16 KB/s and few connections for each daemon, sent and received together', () => {
		const cluster = new SimulatedCluster();
		for (let index = 0; index < daemons; index++) {
			const number = index % dataCentres;
			const dataCentre = `region-${number % 3}-dc-${number}`;
			cluster.start(`${dataCentre}-entry-${String(index).padStart(3, '0')}`, dataCentre);
		}

		cluster.publishVmList();
		cluster.run(2000, stepMs);
		cluster.recorded.length = 0;
		cluster.run(secondsMeasured * 1000, stepMs);
		const bytes = new Map<DaemonId, number>();
		const peers = new Map<DaemonId, Set<DaemonId>>();
		for (const {daemon, action} of cluster.recorded) {
			if (action.kind === 'send') {
				const size = encodeMessage(action.message).length + frameHeaderBytes;
				for (const [one, other] of [[daemon, action.to], [action.to, daemon]] as const) {
					bytes.set(one, (bytes.get(one) ?? 0) + size);
					peers.set(one, (peers.get(one) ?? new Set()).add(other));
				}
			}
		}

		const maxBytesPerSecond = Math.max(...bytes.values()) / secondsMeasured;
		const maxConnections = Math.max(...[...peers.values()].map(set => set.size));
		console.log(`control traffic: at most ${Math.round(maxBytesPerSecond)} bytes/s and ${maxConnections} connections for one daemon`);
		expect(bytes.size).toBe(daemons);
		expect(maxBytesPerSecond).toBeLessThan(limitBytesPerSecond);
		expect(maxConnections).toBeLessThan(70);
	});
});
