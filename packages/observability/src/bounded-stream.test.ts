import {describe, expect, it} from 'vitest';
import {BoundedStream} from './bounded-stream.js';

describe('BoundedStream', () => {
	const create = (waiting: {bytes: number}) => {
		const lines: string[] = [];
		let time = 0;
		const stream = new BoundedStream({
			sink: {
				write: (text: string) => lines.push(text),
				get writableLength() {
					return waiting.bytes;
				},
			},
			now: () => time,
			linesPerSecond: 100,
			burst: 50,
		});
		return {
			lines, stream, advanceTime(ms: number) {
				time += ms;
			},
		};
	};

	it('limits the rate when thousands of requests per second are refused, and logs the number of dropped lines', () => {
		const {lines, stream, advanceTime: pass} = create({bytes: 0});
		for (let second = 0; second < 10; second++) {
			for (let request = 0; request < 5000; request++) {
				stream.write('{}\n');
				pass(0.2);
			}
		}

		expect(lines.length).toBeLessThan((2 * (50 + (10 * 100))) + 10);
		const dropped = lines.filter(line => line.includes('log-lines-dropped')).reduce((sum, line) => sum + (JSON.parse(line) as {count: number}).count, 0);
		const written = lines.filter(line => line === '{}\n').length;
		expect(dropped + written).toBeGreaterThan(49_900);
	});

	it('drops lines instead of buffering them when nobody reads the log', () => {
		const waiting = {bytes: 0};
		const {lines, stream, advanceTime: pass} = create(waiting);
		stream.write('one\n');
		waiting.bytes = 2_000_000;
		stream.write('two\n');
		waiting.bytes = 0;
		pass(10);
		stream.write('three\n');
		expect(lines).toEqual(['one\n', `${JSON.stringify({event: 'log-lines-dropped', count: 1})}\n`, 'three\n']);
	});
});
