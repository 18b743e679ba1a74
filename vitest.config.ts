import {defineConfig} from 'vitest/config';

export default defineConfig({
	test: {
		include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
		// Measures memory, so it runs alone: vitest.isolated.config.ts.
		exclude: ['platform/src/untrusted-clients.test.ts', '**/node_modules/**'],
		testTimeout: 60_000,
		hookTimeout: 60_000,
		// Tests on real processes need cores of their own; fewer workers keep the verdict the same on a busy machine.
		maxWorkers: 4,
	},
});
