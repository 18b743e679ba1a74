import type {Chunk, PeerMessage, RequestId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {
	Bench, once, peer, requestOf,
} from './bench.test-helper.js';

const piece = (offset: number, text: string, version = 1): Chunk => ({
	offset, tokens: text.length, text, version,
});

function chunk(bench: Bench, attempt: string, value: Chunk): void {
	bench.post({kind: 'attempt-chunk', attempt: attempt as never, chunk: value});
}

function textOf(bench: Bench): string {
	return bench.of('deliver').map(action => action.chunk.text).join('');
}

describe('a stream whose engine dies', () => {
	function started(mixedVersions = false): Bench {
		const bench = new Bench();
		bench.post({kind: 'request', request: requestOf({mixedVersions})});
		chunk(bench, bench.attempt, piece(0, 'a'));
		chunk(bench, bench.attempt, piece(1, 'b'));
		bench.fails('upstream-died', true);
		return bench;
	}

	it('is resumed after the tokens received, on another upstream, without gap or repetition', () => {
		const bench = started();
		expect(bench.opened.map(({resumeFrom}) => resumeFrom)).toEqual([0, 2]);
		expect(new Set(bench.opened.map(({upstream}) => upstream)).size).toBe(2);
		chunk(bench, bench.attempt, piece(1, 'bc'));
		bench.finishes(3);
		expect([textOf(bench), bench.of('complete').length]).toEqual(['abc', 1]);
	});

	it('ends with one clear error when only another weight version is left, so that versions are not mixed', () => {
		const bench = started();
		chunk(bench, bench.attempt, piece(2, 'c', 2));
		expect([textOf(bench), bench.failure.detail]).toEqual(['ab', 'no upstream could continue the completion with the weight version that it was started with']);
	});

	it('goes on with another weight version if the caller allows it, and names both', () => {
		const bench = started(true);
		chunk(bench, bench.attempt, piece(2, 'c', 2));
		bench.finishes(3);
		expect(bench.of('complete').map(({versions}) => versions)).toEqual([[{from: 0, to: 2, version: 1}, {from: 2, to: 3, version: 2}]]);
	});

	it('ignores chunks of the dead attempt that come late', () => {
		const bench = new Bench();
		bench.post({kind: 'request', request: requestOf()});
		const dead = bench.attempt;
		bench.fails('upstream-died', true, dead);
		chunk(bench, dead, piece(0, 'x'));
		chunk(bench, bench.attempt, piece(0, 'a'));
		expect(textOf(bench)).toBe('a');
	});
});

describe('a stream that ends without all its tokens', () => {
	it('is resumed instead of waiting for the deadline', () => {
		const bench = new Bench();
		bench.post({kind: 'request', request: requestOf()});
		chunk(bench, bench.attempt, piece(0, 'a'));
		chunk(bench, bench.attempt, piece(2, 'c'));
		bench.finishes(3);
		expect(bench.opened.map(({resumeFrom}) => resumeFrom)).toEqual([0, 1]);
	});
});

describe('a connection that went silent', () => {
	it('is replaced on the same upstream if there is no other, since only the connection is suspected', () => {
		const bench = new Bench({home: ['u1']});
		bench.post({kind: 'request', request: requestOf()});
		bench.fails('silent', true);
		expect(bench.opened.map(({upstream}) => upstream)).toEqual(['u1', 'u1']);
	});
});

describe('frames between daemons', () => {
	const places = {home: [], away: ['v1']};

	it('give the caller its text whether they come late, twice or in another order', () => {
		const bench = new Bench(places);
		bench.post({kind: 'request', request: requestOf()});
		const {attempt} = bench.sent('relay')[0]!;
		const frames: PeerMessage[] = [piece(2, 'cd'), piece(0, 'ab'), piece(0, 'ab'), piece(4, 'e')].map(value => ({kind: 'relay-chunk', attempt, chunk: value}));
		bench.message({
			kind: 'relay-finished', attempt, tokens: 5, status: 200, contentType: 'text/event-stream',
		});
		for (const frame of frames) {
			bench.message(frame);
		}

		expect([textOf(bench), bench.of('complete').length]).toEqual(['abcde', 1]);
	});

	it('let a lost relay be found by its silence, and the request be resumed after the tokens received', () => {
		const bench = new Bench(places);
		bench.post({kind: 'request', request: requestOf()});
		bench.message({kind: 'relay-chunk', attempt: bench.sent('relay')[0]!.attempt, chunk: piece(0, 'ab')});
		bench.now += 2000;
		bench.heartbeat();
		bench.post({kind: 'tick'});
		expect(bench.sent('relay').map(({resumeFrom, version}) => [resumeFrom, version])).toEqual([[0, undefined], [2, 1]]);
		expect(bench.sent('cancel-relay')).toHaveLength(1);
	});

	it('are sent again once to a daemon that was restarted', () => {
		const bench = new Bench(places);
		bench.post({kind: 'request', request: requestOf()});
		bench.heartbeat(2);
		expect(bench.sent('relay').map(({attempt}) => attempt)).toEqual(['r.0', 'r.1']);
		expect(bench.of('fail')).toEqual([]);
	});

	it('are not used for a body that exceeds a frame, since the connection would be cut for all', () => {
		const bench = new Bench(places);
		const {payload} = requestOf();
		bench.post({kind: 'request', request: requestOf({payload: {...payload, body: 'x'.repeat(4 * 1024 * 1024)}})});
		expect([bench.sent('relay').length, bench.failure.outcome]).toEqual([0, 'not-run']);
	});

	it('keep a relay that waits for its first token alive', () => {
		const bench = new Bench(places);
		bench.post({kind: 'request', request: requestOf()});
		for (let index = 0; index < 5; index++) {
			bench.now += 1000;
			bench.heartbeat();
			bench.message({kind: 'relay-chunk', attempt: bench.sent('relay')[0]!.attempt, chunk: piece(0, '')});
			bench.post({kind: 'tick'});
		}

		expect(bench.sent('relay')).toHaveLength(1);
	});
});

describe('a stream that runs for another daemon', () => {
	const relay: PeerMessage = {
		kind: 'relay', attempt: 'a.0' as never, request: requestOf(), payload: requestOf().payload, remainingMs: 20_000, sendWithinMs: 20_000, resumeFrom: 0, mixedVersions: false,
	};

	it('sends one frame for the tokens of 20 ms, since a frame for each costs ten times the volume', () => {
		const bench = new Bench();
		bench.message(relay);
		for (let offset = 0; offset < 40; offset++) {
			bench.now++;
			chunk(bench, bench.attempt, piece(offset, 'x'));
		}

		bench.now += 20;
		bench.post({kind: 'flush-relays'});
		const frames = bench.sent('relay-chunk').map(({chunk: {offset, tokens}}) => [offset, tokens]);
		expect(frames).toEqual([[0, 20], [20, 20]]);
	});

	it('sends keep-alive frames while it has no tokens', () => {
		const bench = new Bench();
		bench.message(relay);
		for (let index = 0; index < 4; index++) {
			bench.now += 250;
			bench.post({kind: 'tick'});
		}

		expect(bench.sent('relay-chunk').map(({chunk: {tokens}}) => tokens)).toEqual([0, 0]);
	});

	it('sends its last tokens before its end', () => {
		const bench = new Bench();
		bench.message(relay);
		chunk(bench, bench.attempt, piece(0, 'ab'));
		bench.finishes(2);
		expect(bench.of('send').map(({message}) => message.kind).slice(-2)).toEqual(['relay-chunk', 'relay-finished']);
	});

	it('stops when the daemon that asked for it is lost', () => {
		const bench = new Bench({home: ['u1'], away: ['v1']});
		bench.message(relay);
		bench.now += 3100;
		bench.post({kind: 'tick'});
		expect(bench.of('cancel-attempt')).toHaveLength(1);
	});

	it('runs on when it must not be repeated, since half a call-out helps nobody', () => {
		const bench = new Bench({home: ['u1'], away: ['v1']});
		bench.message({...relay, request: requestOf(once)});
		bench.now += 3100;
		bench.post({kind: 'tick'});
		expect(bench.of('cancel-attempt')).toEqual([]);
	});
});

describe('an acquire without an answer', () => {
	it('is sent again with the time that is left', () => {
		const bench = new Bench();
		bench.becomeClient();
		bench.post({kind: 'request', request: requestOf({requestId: 'q' as RequestId})});
		bench.now += 1000;
		bench.heartbeatAtHome();
		bench.post({kind: 'tick'});
		const acquires = bench.sent('acquire');
		expect(acquires.map(({remainingMs}) => remainingMs)).toEqual([29_000, 28_000]);
		expect(bench.of('send').find(({message}) => message.kind === 'acquire')?.to).toBe(peer);
	});
});
