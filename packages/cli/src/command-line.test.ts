import {execFile, spawn} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, expect, it} from 'vitest';
import {exitCodes} from './exit-codes.js';

const binary = path.resolve('dist/cicadapost');

/** Runs the built binary in an empty directory, as an operator would, rather than in the repository. */
async function run(...args: string[]): Promise<{code: number; stdout: string; stderr: string}> {
	const cwd = mkdtempSync(path.join(tmpdir(), 'cicadapost-cli-'));
	return new Promise(resolve => {
		execFile(binary, args, {cwd, env: {PATH: process.env.PATH}}, (err, stdout, stderr) => {
			resolve({code: Number(err?.code ?? 0), stdout, stderr});
		});
	});
}

describe('the built binary', () => {
	it('prints the help when run in an empty directory', async () => {
		const {code, stdout} = await run('--help');
		expect(code).toBe(exitCodes.success);
		for (const command of ['serve', 'config', 'members', 'upstreams', 'status', 'trace', 'version']) {
			expect(stdout).toContain(`cicadapost ${command}`);
		}
	});

	it('suggests the closest command for a misspelt one', async () => {
		const {code, stderr} = await run('statsu');
		expect(code).toBe(exitCodes.usage);
		expect(stderr).toContain('Did you mean status?');
	});

	it('exits without an error when the reader of its output closes the pipe, as "head" does', async () => {
		const child = spawn('bash', ['-c', `"${binary}" version | true; exit "\${PIPESTATUS[0]}"`], {stdio: 'ignore'});
		const code = await new Promise(resolve => {
			child.once('exit', resolve);
		});
		expect(code).toBe(exitCodes.success);
	});

	it('names the environment variable when the key is missing', async () => {
		const {code, stderr} = await run('status');
		expect(code).toBe(exitCodes.failure);
		expect(stderr).toContain('CICADAPOST_KEY');
	});

	it('reports an error in a settings file with its line', async () => {
		const file = path.join(mkdtempSync(path.join(tmpdir(), 'cicadapost-cli-')), 'base.jsonc');
		writeFileSync(file, '{\n"members": {},\n"poolz": {}, "dataCentres": {}\n}');
		const {code, stderr} = await run('config', 'check', '--base', file);
		expect(code).toBe(exitCodes.invalidSettings);
		expect(stderr).toContain(`${file}:3:`);
	});
});
