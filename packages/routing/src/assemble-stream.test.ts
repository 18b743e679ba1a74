import {describe, expect, it} from 'vitest';
import {addChunk, createStream, isComplete} from './assemble-stream.js';

const chunk = (offset: number, version = 1) => ({
	offset, tokens: 1, text: `t${offset}`, version,
});

describe('addChunk', () => {
	describe('with chunks out of order', () => {
		it('delivers them in order, so that a caller never sees a gap', () => {
			const stream = createStream();
			expect(addChunk(stream, chunk(1)).ready).toEqual([]);
			expect(addChunk(stream, chunk(0)).ready.map(({offset}) => offset)).toEqual([0, 1]);
		});
	});

	describe('with a duplicate chunk', () => {
		it('drops it, so that no token is delivered twice', () => {
			const stream = createStream();
			addChunk(stream, chunk(0));
			expect(addChunk(stream, chunk(0))).toEqual({ready: []});
		});
	});

	describe('with a chunk that overlaps the delivered tokens', () => {
		const wideChunk = (offset: number, text: string, version = 1) => ({
			offset, tokens: text.length, text, version,
		});

		it('delivers only the remainder, so that an engine that resumes at another offset repeats nothing', () => {
			const stream = createStream();
			addChunk(stream, wideChunk(0, 'ab'));
			addChunk(stream, wideChunk(2, 'cd'));
			expect(addChunk(stream, wideChunk(2, 'cdef')).ready).toEqual([wideChunk(4, 'ef')]);
		});

		it('reports a fault when its text contradicts them, so that two completions are never mixed', () => {
			const stream = createStream();
			addChunk(stream, wideChunk(0, 'ab'));
			expect(addChunk(stream, wideChunk(0, 'xbc')).fault).toBe('diverged');
			expect(addChunk(stream, wideChunk(0, 'x')).fault).toBe('diverged');
			expect(stream.delivered).toBe(2);
		});

		it('reports a fault when it can not be trimmed, so that no token is lost or repeated', () => {
			const stream = createStream({resumeFrom: 3});
			expect(addChunk(stream, wideChunk(2, 'cd')).fault).toBe('diverged');
		});

		it('still trims after many chunks, when old boundaries have been discarded', () => {
			const stream = createStream();
			for (let offset = 0; offset < 2000; offset += 2) {
				addChunk(stream, wideChunk(offset, 'ab'));
			}

			expect(addChunk(stream, wideChunk(1998, 'abc')).ready).toEqual([wideChunk(2000, 'c')]);
		});
	});

	describe('with another version where mixed versions are not allowed', () => {
		it('reports a fault and delivers nothing', () => {
			const stream = createStream({resumeFrom: 2, version: 1});
			expect(addChunk(stream, chunk(2, 2), false)).toEqual({ready: [], fault: 'version-changed'});
			expect(stream.delivered).toBe(2);
		});
	});

	describe('with weights that change during the stream', () => {
		it('records the version of each range of tokens', () => {
			const stream = createStream();
			for (const next of [chunk(0, 1), chunk(1, 1), chunk(2, 2)]) {
				addChunk(stream, next);
			}

			expect(stream.versions).toEqual([{from: 0, to: 2, version: 1}, {from: 2, to: 3, version: 2}]);
		});
	});
});

describe('isComplete', () => {
	it('is false while a token before the total is missing', () => {
		const stream = createStream();
		addChunk(stream, chunk(1));
		stream.total = 2;
		expect(isComplete(stream)).toBe(false);
		addChunk(stream, chunk(0));
		expect(isComplete(stream)).toBe(true);
	});
});
