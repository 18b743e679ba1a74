import {hash} from 'node:crypto';
import type {KeyFingerprint} from '@cicadapost/types';

/** Number of characters of a fingerprint that a log shows. They tell keys apart and are too few to test guessed keys against. */
const shownCharacters = 8;

/** Returns the SHA-256 of a key, which takes the place of the key wherever keys are compared. */
export function fingerprintOfKey(key: string): KeyFingerprint {
	return hash('sha256', key, 'base64url') as KeyFingerprint;
}

/** A key that a caller presents. Its text is private, so that it can't get into a log, an error or a row. */
export class PresentedKey {
	readonly #text: string;
	#fingerprint: KeyFingerprint | undefined;

	constructor(text: string) {
		this.#text = text;
	}

	/** Computed on first use, and only once, since each call is checked twice. */
	get fingerprint(): KeyFingerprint {
		this.#fingerprint ??= fingerprintOfKey(this.#text);
		return this.#fingerprint;
	}

	/** The start of the fingerprint, for logs. */
	get shortFingerprint(): string {
		return this.fingerprint.slice(0, shownCharacters);
	}
}

/** What a call presents to prove its team: a key, or something that can't be one. Undefined if it presents nothing. */
export type Credential = PresentedKey | 'malformed' | undefined;
