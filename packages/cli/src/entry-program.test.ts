import {execFile} from 'node:child_process';
import {
	cpSync, mkdtempSync, readFileSync, rmSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {promisify} from 'node:util';
import {settingsVariable} from '@cicadapost/platform-adapter/settings';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {exitCodes} from './exit-codes.js';

const execute = promisify(execFile);
const flags = /^run = "node (?<flags>(?:--\S+ )*)/mv.exec(readFileSync('deploy/system.toml', 'utf8'))!.groups!.flags!.trim().split(' ');

describe('the program of the deployment', () => {
	let directory: string;
	let program: string;

	beforeEach(() => {
		directory = mkdtempSync(path.join(tmpdir(), 'cicadapost-entry-'));
		cpSync('dist/entry', directory, {recursive: true});
		program = path.join(directory, 'cicadapost.cjs');
	});

	afterEach(() => {
		rmSync(directory, {recursive: true});
	});

	/** Runs Node.js without settings for the program, so that it ends once its modules are loaded. */
	const run = async (...args: string[]) => {
		try {
			return {code: 0, ...await execute(process.execPath, args, {env: {PATH: process.env.PATH}})};
		} catch (err) {
			return err as {code: number; stdout: string; stderr: string};
		}
	};

	describe('its code cache', () => {
		const isRejected = async (nodeFlags: readonly string[]) => {
			const {stdout} = await run(...nodeFlags, '--eval', `console.log(require(${JSON.stringify(program)}).script.cachedDataRejected)`);
			return stdout.trim();
		};

		it('is used with the flags of the deployment', async () => {
			expect(await isRejected(flags)).toBe('false');
		});

		it('is passed over with other flags', async () => {
			expect(await isRejected(['--max-semi-space-size=1'])).toBe('true');
		});
	});

	it('names the environment variable when the settings are missing, with and without a code cache', async () => {
		const expected = {code: exitCodes.failure, stderr: expect.stringContaining(settingsVariable)};
		expect(await run(...flags, program)).toMatchObject(expected);
		rmSync(path.join(directory, 'bundle.cache'));
		expect(await run(...flags, program)).toMatchObject(expected);
	});
});
