import path from 'node:path';
import {baseSchema, overlaySchema, type ConfigurationDocument} from '@cicadapost/settings';
import {readSettingsFile} from '../../read-settings-file.js';

export type DocumentArgs = {base: string; overlay: string[]};

/** Reads the base file and the overlays. The name of an overlay file, without its ending, is its data centre. */
export function readDocument(args: DocumentArgs): ConfigurationDocument {
	return {
		base: readSettingsFile(args.base, baseSchema),
		overlays: Object.fromEntries(args.overlay.map(file => [path.basename(file).replace(/\.jsonc?$/v, ''), readSettingsFile(file, overlaySchema)])),
	};
}
