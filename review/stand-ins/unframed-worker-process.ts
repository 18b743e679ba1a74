/**
 * A model worker as a process of its own: `node unframed-worker-process.cjs ID ZONE PORT`. Its answers have no length and end
 * with their connection, as RULES.md allows. It writes each word of an event as it makes it, so that a kill mostly comes in the
 * middle of an event.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Engine, eventData} from './engine.js';

/** Time between two words, and the words of an event. */
const wordMs = 12;
const wordsPerEvent = 4;

class UnframedEngine extends Engine {
	protected override run(req: IncomingMessage, res: ServerResponse, item: string): void {
		const {events} = this.options;
		// Without a length and without chunks, the end of the connection ends the answer.
		res.useChunkedEncodingByDefault = false;
		res.shouldKeepAlive = false;
		res.writeHead(200, {
			'Content-Type': 'text/event-stream', 'X-Attempt-Id': item, 'X-Response-Seal': `seal-${item}`, 'X-Weight-Versions': '1', Connection: 'close',
		});
		let next = Number(req.headers['last-event-id'] ?? 0) + 1;
		let words: string[] = [];
		let timer: NodeJS.Timeout | undefined;
		const writeWord = () => {
			if (words.length === 0) {
				const data = eventData(item, next).split(' ');
				words = [`id: ${next}\ndata: ${data[0]}`, ' ', ...data.slice(1), '\n\n'];
			}

			const isFirst = words.length === wordsPerEvent;
			res.write(words.shift());
			if (isFirst) {
				process.send?.({item, begins: next});
			}

			if (words.length > 0) {
				return;
			}

			process.send?.({item, ends: next});
			next += 1;
			if (next > events) {
				clearInterval(timer);
				this.finished.add(item);
				res.end();
				this.options.onRun?.(item, 'run is over');
			}
		};

		// Prompts take different times to read.
		const startTimer = setTimeout(() => {
			timer = setInterval(writeWord, wordMs);
		}, Math.random() * wordsPerEvent * wordMs);
		res.on('close', () => {
			clearTimeout(startTimer);
			clearInterval(timer);
		});
	}
}

const [id = '', zone = '', port = '0'] = process.argv.slice(2);
const engine = new UnframedEngine({
	id, zone, slots: 8, eventMs: 0, events: 20,
	onRun(item, what) {
		process.send?.({item, what});
	},
});
void engine.listen(Number(port));
process.on('message', () => {
	process.send?.({entry: engine.entry()});
});
process.on('disconnect', () => {
	process.exit(0);
});
