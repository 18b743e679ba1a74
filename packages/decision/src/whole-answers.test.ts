import type {Chunk, PeerMessage, RequestId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {
	DaemonHarness, nonIdempotent, peer, requestOf,
} from './daemon-harness.test-helper.js';

const chunkOf = (offset: number, text: string, version = 1): Chunk => ({
	offset, tokens: text.length, text, version,
});

function chunk(harness: DaemonHarness, attempt: string, value: Chunk): void {
	harness.post({kind: 'attempt-chunk', attempt: attempt as never, chunk: value});
}

function textOf(harness: DaemonHarness): string {
	return harness.of('deliver').map(action => action.chunk.text).join('');
}

describe('a stream whose engine dies', () => {
	function started(mixedVersions = false): DaemonHarness {
		const harness = new DaemonHarness();
		harness.post({kind: 'request', request: requestOf({mixedVersions})});
		chunk(harness, harness.attempt, chunkOf(0, 'a'));
		chunk(harness, harness.attempt, chunkOf(1, 'b'));
		harness.failAttempt('upstream-died', true);
		return harness;
	}

	it('is resumed after the tokens received, on another upstream, without gap or repetition', () => {
		const harness = started();
		expect(harness.opened.map(({resumeFrom}) => resumeFrom)).toEqual([0, 2]);
		expect(new Set(harness.opened.map(({upstream}) => upstream)).size).toBe(2);
		chunk(harness, harness.attempt, chunkOf(1, 'bc'));
		harness.finishAttempt(3);
		expect([textOf(harness), harness.of('complete').length]).toEqual(['abc', 1]);
	});

	it('ends with one clear error when only another weight version is left, so that versions are not mixed', () => {
		const harness = started();
		chunk(harness, harness.attempt, chunkOf(2, 'c', 2));
		expect([textOf(harness), harness.failure.detail]).toEqual(['ab', 'no upstream could continue the completion with the weight version that it was started with']);
	});

	it('goes on with another weight version if the caller allows it, and names both', () => {
		const harness = started(true);
		chunk(harness, harness.attempt, chunkOf(2, 'c', 2));
		harness.finishAttempt(3);
		expect(harness.of('complete').map(({versions}) => versions)).toEqual([[{from: 0, to: 2, version: 1}, {from: 2, to: 3, version: 2}]]);
	});

	it('ignores late chunks of the dead attempt', () => {
		const harness = new DaemonHarness();
		harness.post({kind: 'request', request: requestOf()});
		const dead = harness.attempt;
		harness.failAttempt('upstream-died', true, dead);
		chunk(harness, dead, chunkOf(0, 'x'));
		chunk(harness, harness.attempt, chunkOf(0, 'a'));
		expect(textOf(harness)).toBe('a');
	});
});

describe('a stream that ends without all its tokens', () => {
	it('is resumed instead of waiting for the deadline', () => {
		const harness = new DaemonHarness();
		harness.post({kind: 'request', request: requestOf()});
		chunk(harness, harness.attempt, chunkOf(0, 'a'));
		chunk(harness, harness.attempt, chunkOf(2, 'c'));
		harness.finishAttempt(3);
		expect(harness.opened.map(({resumeFrom}) => resumeFrom)).toEqual([0, 1]);
	});
});

describe('a connection that went silent', () => {
	it('is replaced on the same upstream if there is no other, since only the connection is suspected', () => {
		const harness = new DaemonHarness({home: ['u1']});
		harness.post({kind: 'request', request: requestOf()});
		harness.failAttempt('silent', true);
		expect(harness.opened.map(({upstream}) => upstream)).toEqual(['u1', 'u1']);
	});
});

describe('frames between daemons', () => {
	const places = {home: [], away: ['v1']};

	it('give the caller its text whether they arrive late, twice or out of order', () => {
		const harness = new DaemonHarness(places);
		harness.post({kind: 'request', request: requestOf()});
		const {attempt} = harness.sent('relay')[0]!;
		const frames: PeerMessage[] = [chunkOf(2, 'cd'), chunkOf(0, 'ab'), chunkOf(0, 'ab'), chunkOf(4, 'e')].map(value => ({kind: 'relay-chunk', attempt, chunk: value}));
		harness.message({
			kind: 'relay-finished', attempt, tokens: 5, status: 200, contentType: 'text/event-stream',
		});
		for (const frame of frames) {
			harness.message(frame);
		}

		expect([textOf(harness), harness.of('complete').length]).toEqual(['abcde', 1]);
	});

	it('reveal a lost relay by their absence, and the request is resumed after the tokens received', () => {
		const harness = new DaemonHarness(places);
		harness.post({kind: 'request', request: requestOf()});
		harness.message({kind: 'relay-chunk', attempt: harness.sent('relay')[0]!.attempt, chunk: chunkOf(0, 'ab')});
		harness.now += 2000;
		harness.heartbeat();
		harness.post({kind: 'tick'});
		expect(harness.sent('relay').map(({resumeFrom, version}) => [resumeFrom, version])).toEqual([[0, undefined], [2, 1]]);
		expect(harness.sent('cancel-relay')).toHaveLength(1);
	});

	it('are sent again once to a daemon that was restarted', () => {
		const harness = new DaemonHarness(places);
		harness.post({kind: 'request', request: requestOf()});
		harness.heartbeat(2);
		expect(harness.sent('relay').map(({attempt}) => attempt)).toEqual(['r.0', 'r.1']);
		expect(harness.of('fail')).toEqual([]);
	});

	it('are not used for a body that exceeds a frame, since the connection would be closed for all requests', () => {
		const harness = new DaemonHarness(places);
		const {payload} = requestOf();
		harness.post({kind: 'request', request: requestOf({payload: {...payload, body: 'x'.repeat(4 * 1024 * 1024)}})});
		expect([harness.sent('relay').length, harness.failure.outcome]).toEqual([0, 'not-run']);
	});

	it('keep a relay that waits for its first token alive', () => {
		const harness = new DaemonHarness(places);
		harness.post({kind: 'request', request: requestOf()});
		for (let index = 0; index < 5; index++) {
			harness.now += 1000;
			harness.heartbeat();
			harness.message({kind: 'relay-chunk', attempt: harness.sent('relay')[0]!.attempt, chunk: chunkOf(0, '')});
			harness.post({kind: 'tick'});
		}

		expect(harness.sent('relay')).toHaveLength(1);
	});
});

describe('a stream that runs for another daemon', () => {
	const relay: PeerMessage = {
		kind: 'relay', attempt: 'a.0' as never, request: requestOf(), payload: requestOf().payload, remainingMs: 20_000, sendWithinMs: 20_000, resumeFrom: 0, mixedVersions: false,
	};

	it('sends one frame for the tokens of 20 ms, since a frame for each costs ten times the volume', () => {
		const harness = new DaemonHarness();
		harness.message(relay);
		for (let offset = 0; offset < 40; offset++) {
			harness.now++;
			chunk(harness, harness.attempt, chunkOf(offset, 'x'));
		}

		harness.now += 20;
		harness.post({kind: 'flush-relays'});
		const frames = harness.sent('relay-chunk').map(({chunk: {offset, tokens}}) => [offset, tokens]);
		expect(frames).toEqual([[0, 20], [20, 20]]);
	});

	it('sends keep-alive frames while it has no tokens', () => {
		const harness = new DaemonHarness();
		harness.message(relay);
		for (let index = 0; index < 4; index++) {
			harness.now += 250;
			harness.post({kind: 'tick'});
		}

		expect(harness.sent('relay-chunk').map(({chunk: {tokens}}) => tokens)).toEqual([0, 0]);
	});

	it('sends its last tokens before its end', () => {
		const harness = new DaemonHarness();
		harness.message(relay);
		chunk(harness, harness.attempt, chunkOf(0, 'ab'));
		harness.finishAttempt(2);
		expect(harness.of('send').map(({message}) => message.kind).slice(-2)).toEqual(['relay-chunk', 'relay-finished']);
	});

	it('stops when the daemon that asked for it is lost', () => {
		const harness = new DaemonHarness({home: ['u1'], away: ['v1']});
		harness.message(relay);
		harness.now += 3100;
		harness.post({kind: 'tick'});
		expect(harness.of('cancel-attempt')).toHaveLength(1);
	});

	it('runs on when it must not be repeated, since a half-run request can be neither used nor repeated', () => {
		const harness = new DaemonHarness({home: ['u1'], away: ['v1']});
		harness.message({...relay, request: requestOf(nonIdempotent)});
		harness.now += 3100;
		harness.post({kind: 'tick'});
		expect(harness.of('cancel-attempt')).toEqual([]);
	});
});

describe('an acquire without an answer', () => {
	it('is sent again with the time that is left', () => {
		const harness = new DaemonHarness();
		harness.moveShardsToPeer();
		harness.post({kind: 'request', request: requestOf({requestId: 'q' as RequestId})});
		harness.now += 1000;
		harness.receiveLocalHeartbeat();
		harness.post({kind: 'tick'});
		const acquires = harness.sent('acquire');
		expect(acquires.map(({remainingMs}) => remainingMs)).toEqual([29_000, 28_000]);
		expect(harness.of('send').find(({message}) => message.kind === 'acquire')?.to).toBe(peer);
	});
});
