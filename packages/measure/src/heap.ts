import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function heapBytes(): number {
	collectGarbage();
	collectGarbage();
	return process.memoryUsage().heapUsed;
}

/** Bytes that a copy of `value` takes on the heap: the difference after garbage collection, averaged over `copies`. */
export function sizeOnHeap(value: unknown, copies = 4): number {
	const clones: unknown[] = [];
	const before = heapBytes();
	for (let index = 0; index < copies; index++) {
		clones.push(structuredClone(value));
	}

	const after = heapBytes();
	return clones.length === copies ? (after - before) / copies : Number.NaN;
}
