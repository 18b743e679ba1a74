import {defineConfig} from 'vitest/config';

/** Tests that measure what a process uses. They run one at a time, with nothing beside them. */
export default defineConfig({
	test: {
		include: ['platform/src/untrusted-clients.test.ts'],
		fileParallelism: false,
		maxConcurrency: 1,
		testTimeout: 60_000,
		hookTimeout: 60_000,
	},
});
