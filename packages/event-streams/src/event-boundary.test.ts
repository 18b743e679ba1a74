import {describe, expect, it} from 'vitest';
import {EventBoundary} from './event-boundary.js';

/** Whether a stream ends within an event, if it arrives in pieces of `size` bytes. */
const endsWithinEvent = (text: string, size: number) => {
	const boundary = new EventBoundary();
	const bytes = Buffer.from(text);
	for (let start = 0; start < bytes.length; start += size) {
		boundary.feed(bytes.subarray(start, start + size));
	}

	return boundary.isWithinEvent;
};

describe.each([1, 2, 3, 100])('EventBoundary, with pieces of %i bytes', size => {
	const whole = ['', 'id: 0\ndata: a\n\n', 'data: a\r\n\r\n', 'data: a\r\r', 'data: a\n\r\n', 'data: a\n\n: comment\n\n', 'data: a\n\n: comment\n', 'data: a\n\n\n', '\n'];
	const cut = [
		'id: 0',
		'id: 0\n',
		'id: 0\ndata: a',
		'id: 0\ndata: a\n',
		'data: a\r\n',
		'data: a\r',
		'data: a\n\ni',
		'data: a\n\n: comm',
		'data: a\n: comment\n',
		'data: a\n\nversion: 3\n',
		':\n\ndata: é',
	];

	it.each(whole)('accepts %j, so that no whole stream counts as cut', text => {
		expect(endsWithinEvent(text, size)).toBe(false);
	});

	it.each(cut)('finds the unfinished event of %j, so that no cut stream counts as whole', text => {
		expect(endsWithinEvent(text, size)).toBe(true);
	});
});
