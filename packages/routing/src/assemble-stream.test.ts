import {describe, expect, it} from 'vitest';
import {addChunk, createStream, isWhole} from './assemble-stream.js';

const chunk = (offset: number, version = 1) => ({
	offset, tokens: 1, text: `t${offset}`, version,
});

describe('addChunk', () => {
	describe('with chunks out of order', () => {
		it('passes them on in order, so that a caller never reads a gap', () => {
			const stream = createStream();
			expect(addChunk(stream, chunk(1))).toEqual([]);
			expect(addChunk(stream, chunk(0)).map(({offset}) => offset)).toEqual([0, 1]);
		});
	});

	describe('with a chunk that came before', () => {
		it('drops it, so that no token is delivered twice', () => {
			const stream = createStream();
			addChunk(stream, chunk(0));
			expect(addChunk(stream, chunk(0))).toEqual([]);
		});
	});

	describe('with weights that change in mid-stream', () => {
		it('records the version of each range of tokens', () => {
			const stream = createStream();
			for (const next of [chunk(0, 1), chunk(1, 1), chunk(2, 2)]) {
				addChunk(stream, next);
			}

			expect(stream.versions).toEqual([{from: 0, to: 2, version: 1}, {from: 2, to: 3, version: 2}]);
		});
	});
});

describe('isWhole', () => {
	it('is false while a token before the total is missing', () => {
		const stream = createStream();
		addChunk(stream, chunk(1));
		stream.total = 2;
		expect(isWhole(stream)).toBe(false);
		addChunk(stream, chunk(0));
		expect(isWhole(stream)).toBe(true);
	});
});
