import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function heapBytes(): number {
	collectGarbage();
	collectGarbage();
	return process.memoryUsage().heapUsed;
}

/** Heap bytes of one copy of `value`: the growth of the heap after garbage collection, averaged over `copies` clones. */
export function sizeOnHeap(value: unknown, copies = 4): number {
	const clones: unknown[] = [];
	const before = heapBytes();
	for (let index = 0; index < copies; index++) {
		clones.push(structuredClone(value));
	}

	const after = heapBytes();
	return clones.length === copies ? (after - before) / copies : Number.NaN;
}
