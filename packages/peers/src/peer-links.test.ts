import {once} from 'node:events';
import type {ConfigurationPull, DaemonId} from '@cicadapost/types';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {WebSocket} from 'ws';
import {PeerLinks} from './peer-links.js';

const secret = 'secret-of-the-test';
const pull: ConfigurationPull = {kind: 'configuration-pull', haveVersion: 0};
const open: PeerLinks[] = [];

async function start(self: string): Promise<{links: PeerLinks; address: string; self: DaemonId}> {
	const links = new PeerLinks({self: self as DaemonId, secret});
	open.push(links);
	return {links, address: `127.0.0.1:${await links.listen()}`, self: self as DaemonId};
}

async function refusalOf(address: string, headers: Record<string, string>): Promise<string> {
	const socket = new WebSocket(`ws://${address}/peer`, {
		headers: {
			'x-cicadapost-protocol': '1', 'x-cicadapost-daemon': 'b', authorization: `Bearer ${secret}`, ...headers,
		},
	});
	const [err] = await once(socket, 'error') as [Error];
	return err.message;
}

afterEach(async () => {
	await Promise.all(open.splice(0).map(async links => links.close()));
});

describe('a handshake', () => {
	it.each([
		['of another protocol version', {'x-cicadapost-protocol': '2'}],
		['with another secret', {authorization: 'Bearer other'}],
		['with the id of this daemon', {'x-cicadapost-daemon': 'a'}],
	])('%s is refused, so that no frame of it is read', async (_name, headers) => {
		const {links, address} = await start('a');
		const rejected = once(links, 'rejected');
		expect(await refusalOf(address, headers)).toContain('403');
		await rejected;
	});
});

describe('two daemons that want each other', () => {
	it('keep one connection that works both ways, so that they do not replace each other\'s connection for ever', async () => {
		const [a, b] = [await start('a'), await start('b')];
		const connected = [once(a.links, 'connected'), once(b.links, 'connected')];
		a.links.connect(b.address, b.self);
		b.links.connect(a.address, a.self);
		await Promise.all(connected);
		const received = [once(a.links, 'message'), once(b.links, 'message')];
		a.links.send(b.self, pull);
		b.links.send(a.self, pull);
		expect(await Promise.all(received)).toEqual([[b.self, pull], [a.self, pull]]);
	});
});

describe('a message', () => {
	it('waits for a connection that is being opened, so that the first relay to a data centre is not lost', async () => {
		const [a, b] = [await start('a'), await start('b')];
		const received = once(b.links, 'message');
		a.links.connect(b.address, b.self);
		a.links.send(b.self, pull);
		expect(await received).toEqual([a.self, pull]);
	});

	it('to a daemon that does not answer is reported, so that the request runs elsewhere', async () => {
		const {links} = await start('a');
		const unsent = once(links, 'unsent');
		links.connect('127.0.0.1:1', 'b' as DaemonId);
		links.send('b' as DaemonId, pull);
		expect(await unsent).toEqual(['b', pull]);
	});

	it('that was sent before the close still arrives, so that a shutdown cuts no relayed answer', async () => {
		const [a, b] = [await start('a'), await start('b')];
		const connected = once(a.links, 'connected');
		a.links.connect(b.address, b.self);
		await connected;
		const received = once(b.links, 'message');
		a.links.send(b.self, pull);
		await a.links.close();
		expect(await received).toEqual([a.self, pull]);
	});
});
