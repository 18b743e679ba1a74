import type {SoftwareVersion} from '@cicadapost/types';
import {StreamOrigins, type StreamOrigin} from './stream-origins.js';

/** Knows the origin of no stream. For tests of requests that are no streams. */
export class NoStreamOrigins extends StreamOrigins {
	override record(): void {} // eslint-disable-line @typescript-eslint/no-empty-function

	override async originOf(): Promise<StreamOrigin | undefined> {
		return undefined;
	}

	override async onlyVersion(): Promise<SoftwareVersion | undefined> {
		return undefined;
	}
}
