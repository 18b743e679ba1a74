import type {ServiceId, SoftwareVersion} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import type {UpstreamRecord} from './upstream.js';
import {VersionHistory} from './version-history.js';

const service = 'lm' as ServiceId;
const upstream = (softwareVersion: string) => ({service, softwareVersion: softwareVersion as SoftwareVersion} as UpstreamRecord);

describe('VersionHistory', () => {
	it('returns the only version that has been listed in a time', () => {
		const history = new VersionHistory();
		history.restart(0);
		history.update([upstream('v1'), upstream('v1')], 10);
		expect(history.onlyVersionSince(service, 50, 100)).toBe('v1');
	});

	it('remembers a version that has left since', () => {
		const history = new VersionHistory();
		history.restart(0);
		history.update([upstream('v1')], 10);
		history.update([upstream('v1'), upstream('v2')], 20);
		history.update([upstream('v2')], 60);
		expect(history.onlyVersionSince(service, 50, 100)).toBeUndefined();
		expect(history.onlyVersionSince(service, 70, 100)).toBe('v2');
	});

	it('does not know what was listed before its start', () => {
		const history = new VersionHistory();
		history.update([upstream('v1')], 40);
		expect(history.onlyVersionSince(service, 50, 100)).toBeUndefined();
		history.restart(80);
		history.update([upstream('v1')], 90);
		expect(history.onlyVersionSince(service, 50, 100)).toBeUndefined();
		expect(history.onlyVersionSince(service, 80, 130)).toBe('v1');
	});

	it('does not know what was listed while the list could not be read', () => {
		const history = new VersionHistory();
		history.restart(0);
		history.update([upstream('v1')], 10);
		history.restart(60);
		expect(history.onlyVersionSince(service, 50, 100)).toBeUndefined();
	});
});
