import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {isFinalStatus, StatusLineChecker} from './check-status-lines.js';

/** Feeds bytes in pieces of `size` and returns whether all were accepted. */
function accepts(text: string, size = text.length): boolean {
	const checker = new StatusLineChecker();
	checker.expectResponse();
	const bytes = Buffer.from(text, 'latin1');
	for (let from = 0; from < bytes.length; from += size) {
		if (!checker.feed(bytes.subarray(from, from + size))) {
			return false;
		}
	}

	return true;
}

const malformedStatusLines = [
	'HTTP/1.1 000 X',
	'HTTP/1.1 099 X',
	'HTTP/1.1 600 X',
	'HTTP/1.1 999 X',
	'HTTP/1.1 1000 X',
	'HTTP/1.1 20 OK',
	'HTTP/1.1 2OO OK',
	'HTTP/1.1 OK',
	'HTTP/1.1 -200 OK',
	'HTTP/1.1  200 OK',
	'HTTP/1.1 200OK',
	'HTTP/2.0 200 OK',
	'HTTP/0.9 200 OK',
	'http/1.1 200 OK',
	'ICY 200 OK',
	'RTSP/1.0 200 OK',
	'HTTP/1.1 200 O\0K',
	'HTTP/11 200 OK',
	'HTTP/1.1\t200 OK',
	' HTTP/1.1 200 OK',
	'',
];

describe('StatusLineChecker', () => {
	it.each(malformedStatusLines)('rejects %j, in one piece or byte by byte', line => {
		expect([accepts(`${line}\r\n\r\n`), accepts(`${line}\r\n\r\n`, 1)]).toEqual([false, false]);
	});

	it('accepts the status line of each final status, and whatever follows it', () => {
		for (let status = 200; status < 600; status++) {
			expect(accepts(`HTTP/1.1 ${status} Some Reason\r\nA: b\r\n\r\nHTTP/9.9 000\r\n`, 3)).toBe(true);
		}

		expect([accepts('HTTP/1.0 200\r\n'), accepts('HTTP/1.1 204 \r\n'), accepts('HTTP/1.1 200 \u00E4\r\n')]).toEqual([true, true, true]);
	});

	it('goes on with the response after an interim one, and with no more than some of these', () => {
		const interim = 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n';
		expect(accepts(`${interim}${interim}HTTP/1.1 200 OK\r\n`, 7)).toBe(true);
		expect(accepts(`${interim}HTTP/1.1 000 X\r\n`, 7)).toBe(false);
		expect(accepts(interim.repeat(17))).toBe(false);
	});

	it('rejects a line without end before it has kept much of it', () => {
		expect(accepts(`HTTP/1.1 200 ${'a'.repeat(2000)}`, 100)).toBe(false);
	});

	it('gives the same verdict however the bytes are cut', () => {
		fc.assert(fc.property(fc.constantFrom(...malformedStatusLines, 'HTTP/1.1 200 OK', 'HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK'), fc.integer({min: 1, max: 60}), (line, size) => (
			accepts(`${line}\r\n\r\n`, size) === accepts(`${line}\r\n\r\n`)
		)), {seed: 20_261_207, numRuns: 300});
	});
});

describe('isFinalStatus', () => {
	it('is true from 200 to 599', () => {
		expect([0, 99, 100, 199, 200, 404, 599, 600, 999, 200.5, Number.NaN].map(status => isFinalStatus(status))).toEqual([false, false, false, false, true, true, true, false, false, false, false]);
	});
});
