export {freePort} from '@cicadapost/platform-adapter/testing';
