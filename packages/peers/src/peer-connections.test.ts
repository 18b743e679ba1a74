import {once} from 'node:events';
import type {ConfigurationPull, DaemonId} from '@cicadapost/types';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {WebSocket} from 'ws';
import {PeerConnections} from './peer-connections.js';

const secret = 'secret-of-the-test';
const pull: ConfigurationPull = {kind: 'configuration-pull', haveVersion: 0};
const openConnections: PeerConnections[] = [];

async function startPeer(self: string): Promise<{connections: PeerConnections; address: string; self: DaemonId}> {
	const connections = new PeerConnections({self: self as DaemonId, secret});
	openConnections.push(connections);
	return {connections, address: `127.0.0.1:${await connections.listen()}`, self: self as DaemonId};
}

async function handshakeError(address: string, headers: Record<string, string>): Promise<string> {
	const socket = new WebSocket(`ws://${address}/peer`, {
		headers: {
			'x-cicadapost-protocol': '1', 'x-cicadapost-daemon': 'b', authorization: `Bearer ${secret}`, ...headers,
		},
	});
	const [err] = await once(socket, 'error') as [Error];
	return err.message;
}

afterEach(async () => {
	await Promise.all(openConnections.splice(0).map(async connections => connections.close()));
});

describe('handshake', () => {
	it.each([
		['with another protocol version', {'x-cicadapost-protocol': '2'}],
		['with another secret', {authorization: 'Bearer other'}],
		['with the id of this daemon', {'x-cicadapost-daemon': 'a'}],
	])('%s is rejected before any frame is read', async (_name, headers) => {
		const {connections, address} = await startPeer('a');
		const rejected = once(connections, 'rejected');
		expect(await handshakeError(address, headers)).toContain('403');
		await rejected;
	});
});

describe('two daemons that connect to each other', () => {
	it('keep one bidirectional connection instead of replacing each other\'s connection forever', async () => {
		const [a, b] = [await startPeer('a'), await startPeer('b')];
		const connected = [once(a.connections, 'connected'), once(b.connections, 'connected')];
		a.connections.connect(b.address, b.self);
		b.connections.connect(a.address, a.self);
		await Promise.all(connected);
		const received = [once(a.connections, 'message'), once(b.connections, 'message')];
		a.connections.send(b.self, pull);
		b.connections.send(a.self, pull);
		expect(await Promise.all(received)).toEqual([[b.self, pull], [a.self, pull]]);
	});
});

describe('message', () => {
	it('waits for a connection to open, so that the first relay to a data centre is not lost', async () => {
		const [a, b] = [await startPeer('a'), await startPeer('b')];
		const received = once(b.connections, 'message');
		a.connections.connect(b.address, b.self);
		a.connections.send(b.self, pull);
		expect(await received).toEqual([a.self, pull]);
	});

	it('to an unreachable daemon is reported as unsent, so that the request can run elsewhere', async () => {
		const {connections} = await startPeer('a');
		const unsent = once(connections, 'unsent');
		connections.connect('127.0.0.1:1', 'b' as DaemonId);
		connections.send('b' as DaemonId, pull);
		expect(await unsent).toEqual(['b', pull]);
	});

	it('sent before close still arrives, so that a shutdown does not truncate a relayed response', async () => {
		const [a, b] = [await startPeer('a'), await startPeer('b')];
		const connected = once(a.connections, 'connected');
		a.connections.connect(b.address, b.self);
		await connected;
		const received = once(b.connections, 'message');
		a.connections.send(b.self, pull);
		await a.connections.close();
		expect(await received).toEqual([a.self, pull]);
	});
});
